package org.vanillaslip;

/** One entry of the operators' configuration, stored as one object on the platform. */
public sealed interface ConfigurationItem
        permits Plan, WorkspaceEntry, Route, Model, BackendServer, FailureDomainEntry, HostEntry {

    /** Returns the name of this entry, unique among entries of its kind. */
    String name();
}
