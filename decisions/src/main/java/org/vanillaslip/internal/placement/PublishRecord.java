package org.vanillaslip.internal.placement;

/** Send the stored record to the other hosts of the failure domain. */
public record PublishRecord(long version, ShardRecord record) implements ShardAction {}
