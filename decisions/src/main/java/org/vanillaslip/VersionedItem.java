package org.vanillaslip;

import java.util.Optional;

/**
 * A configuration item with the platform version of its last change. An empty item is a removal;
 * its version prevents an older copy from restoring the item.
 */
public record VersionedItem(ItemName name, long version, Optional<ConfigurationItem> item) {}
