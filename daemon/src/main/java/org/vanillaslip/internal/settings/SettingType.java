package org.vanillaslip.internal.settings;

import java.util.Optional;
import java.util.function.Function;

/**
 * Type of a setting, with the values that it accepts.
 *
 * @param allowed description of the accepted values
 * @param parser returns the value, or empty if the text is not accepted
 */
record SettingType<T>(String allowed, Function<String, Optional<T>> parser) {

    Optional<T> parse(String text) {
        return parser.apply(text);
    }
}
