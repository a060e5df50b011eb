package org.vanillaslip.internal.placement;

/** What the caller of {@link ShardStateMachine} has to do next. */
public sealed interface ShardAction
        permits ReadObject, WriteObject, SendOrder, ListShards, PublishRecord, LogShardEvent {}
