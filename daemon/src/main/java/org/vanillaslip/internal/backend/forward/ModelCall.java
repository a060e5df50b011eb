package org.vanillaslip.internal.backend.forward;

import org.vanillaslip.ModelName;
import org.vanillaslip.RequestClass;

/** A completion to be streamed by a model engine. */
public record ModelCall(
        String requestId,
        ModelName model,
        String prompt,
        long maximumTokens,
        RequestClass requestClass,
        boolean repeatable) {}
