package org.vanillaslip.internal.placement;

/** A model or adapter that a server reports. The adapter is empty for a base model. */
public record ReportedModel(
        String model, String version, String adapter, boolean loaded, long decision) {}
