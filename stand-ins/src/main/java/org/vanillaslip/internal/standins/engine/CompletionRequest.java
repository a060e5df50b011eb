package org.vanillaslip.internal.standins.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/** Body of {@code POST /v1/completions}. */
@JsonIgnoreProperties(ignoreUnknown = true)
record CompletionRequest(
        String model,
        @Nullable String adapter,
        @Nullable String prompt,
        @JsonProperty("max_tokens") int maxTokens) {

    String adapterName() {
        return adapter == null ? "" : adapter;
    }

    String promptText() {
        return prompt == null ? "" : prompt;
    }

    int promptTokens() {
        return promptText().isBlank() ? 0 : promptText().strip().split("\\s+").length;
    }

    /**
     * Returns the token at the offset; it depends on the prompt, so that a test detects tokens of
     * another request's stream.
     */
    String tokenAt(int offset) {
        return Integer.toHexString(promptText().hashCode()) + "-" + offset + " ";
    }
}
