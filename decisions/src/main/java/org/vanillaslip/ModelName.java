package org.vanillaslip;

import java.util.Optional;

/** A model with an optional adapter, written {@code model} or {@code model:adapter} by callers. */
public record ModelName(String model, Optional<String> adapter) {

    /** Parses the caller's notation; the part after the first colon names the adapter. */
    public static ModelName parse(String text) {
        int colon = text.indexOf(':');
        if (colon < 0) {
            return new ModelName(text, Optional.empty());
        }
        return new ModelName(text.substring(0, colon), Optional.of(text.substring(colon + 1)));
    }

    /** Returns the base model without an adapter. */
    public ModelName base() {
        return new ModelName(model, Optional.empty());
    }

    @Override
    public String toString() {
        return adapter.map(name -> model + ":" + name).orElse(model);
    }
}
