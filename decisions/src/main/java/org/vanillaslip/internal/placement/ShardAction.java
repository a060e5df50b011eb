package org.vanillaslip.internal.placement;

/** An action that the caller of {@link ShardStateMachine} has to execute. */
public sealed interface ShardAction
        permits ReadObject, WriteObject, SendOrder, ListShards, PublishRecord, LogShardEvent {}
