package org.vanillaslip.internal.standins.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.jspecify.annotations.Nullable;

/** Body of {@code POST /v1/orders}. */
@JsonIgnoreProperties(ignoreUnknown = true)
record EngineOrder(
        long decision,
        long term,
        String incarnation,
        String action,
        String model,
        String version,
        @Nullable String adapter,
        @Nullable String source) {

    String adapterName() {
        return adapter == null ? "" : adapter;
    }

    String sourceLocation() {
        return source == null ? "" : source;
    }

    boolean isLoad() {
        return "load".equals(action);
    }
}
