package org.vanillaslip.internal.backend.forward;

import org.vanillaslip.ModelName;
import org.vanillaslip.RequestClass;

/** A completion request to a model engine. */
public record ModelCall(
        String requestId,
        ModelName model,
        String prompt,
        long maximumTokens,
        RequestClass requestClass,
        boolean repeatable) {}
