package org.vanillaslip.internal.configuration;

/**
 * A value of the configuration that cannot be accepted.
 *
 * @param item object name of the item
 * @param field path of the field inside the item
 * @param value the value as found
 * @param allowed what would be accepted
 */
public record Fault(String item, String field, String value, String allowed) {

    @Override
    public String toString() {
        return item + ": " + field + " is '" + value + "'; allowed: " + allowed;
    }
}
