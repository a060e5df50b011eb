package org.vanillaslip;

import java.util.Optional;

/**
 * A configuration item at one version of the platform. An empty item is a removal, which has a
 * version of its own so that an older copy cannot bring the item back.
 */
public record VersionedItem(ItemName name, long version, Optional<ConfigurationItem> item) {}
