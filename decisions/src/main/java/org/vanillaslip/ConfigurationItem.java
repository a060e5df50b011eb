package org.vanillaslip;

/** An item of the configuration that operators edit; the platform stores each item as an object. */
public sealed interface ConfigurationItem
        permits Plan, WorkspaceEntry, Route, Model, BackendServer, FailureDomainEntry, HostEntry {

    /** Returns the name of the item, which is unique among items of the same kind. */
    String name();
}
