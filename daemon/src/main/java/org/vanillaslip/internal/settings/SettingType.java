package org.vanillaslip.internal.settings;

import java.util.Optional;
import java.util.function.Function;

/**
 * Values that a setting accepts.
 *
 * @param allowed what is accepted, in words
 * @param parser returns the value, or nothing when the text is not accepted
 */
record SettingType<T>(String allowed, Function<String, Optional<T>> parser) {

    Optional<T> parse(String text) {
        return parser.apply(text);
    }
}
