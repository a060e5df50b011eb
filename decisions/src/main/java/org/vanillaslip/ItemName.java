package org.vanillaslip;

/** Identifies a configuration item by its kind and its name within the kind. */
public record ItemName(ItemKind kind, String name) {

    /** Returns the kind and name of the given item. */
    public static ItemName of(ConfigurationItem item) {
        return new ItemName(ItemKind.of(item), item.name());
    }

    /** Returns the name of the object in which the platform stores the item. */
    public String objectName() {
        return kind.prefix() + "." + name;
    }
}
