package org.vanillaslip;

import java.util.Optional;

/** Name of a model and an optional adapter, {@code model} or {@code model:adapter} in requests. */
public record ModelName(String model, Optional<String> adapter) {

    /** Parses a name from a request; the part after the first colon is the adapter. */
    public static ModelName parse(String text) {
        int colon = text.indexOf(':');
        if (colon < 0) {
            return new ModelName(text, Optional.empty());
        }
        return new ModelName(text.substring(0, colon), Optional.of(text.substring(colon + 1)));
    }

    /** Returns the name of the base model, without the adapter. */
    public ModelName base() {
        return new ModelName(model, Optional.empty());
    }

    @Override
    public String toString() {
        return adapter.map(name -> model + ":" + name).orElse(model);
    }
}
