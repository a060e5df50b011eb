package org.vanillaslip.internal.configuration;

/**
 * A value that fails validation.
 *
 * @param item object name of the configuration item
 * @param field path of the field within the item
 * @param value the rejected value, or a placeholder if it may be a secret
 * @param allowed description of the accepted values
 */
public record Fault(String item, String field, String value, String allowed) {

    @Override
    public String toString() {
        return item + ": " + field + " is '" + value + "'; allowed: " + allowed;
    }
}
