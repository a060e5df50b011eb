package org.vanillaslip.internal.placement;

/** Sends the stored record to the other hosts of the failure domain. */
public record PublishRecord(long version, ShardRecord record) implements ShardAction {}
