package org.vanillaslip;

/** Identity of a configuration item. */
public record ItemName(ItemKind kind, String name) {

    /** Returns the identity of the given item. */
    public static ItemName of(ConfigurationItem item) {
        return new ItemName(ItemKind.of(item), item.name());
    }

    /** Returns the object name on the platform. */
    public String objectName() {
        return kind.prefix() + "." + name;
    }
}
