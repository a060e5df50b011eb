package org.vanillaslip.internal.placement;

/** A model or adapter in a server's status report. The adapter is empty for a base model. */
public record ReportedModel(
        String model, String version, String adapter, boolean loaded, long decision) {}
