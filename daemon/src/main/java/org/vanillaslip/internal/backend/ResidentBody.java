package org.vanillaslip.internal.backend;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.placement.ReportedModel;

/** JSON of a model or adapter that is loaded or loading. */
@JsonIgnoreProperties(ignoreUnknown = true)
record ResidentBody(
        String model, String version, @Nullable String adapter, String state, long decision) {

    ReportedModel toReportedModel() {
        String name = adapter == null ? "" : adapter;
        return new ReportedModel(model, version, name, "loaded".equals(state), decision);
    }
}
