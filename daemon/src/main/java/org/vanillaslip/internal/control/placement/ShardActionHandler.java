package org.vanillaslip.internal.control.placement;

import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.ShardEvent;
import org.vanillaslip.internal.placement.ShardRecord;

/** Carries out what a shard's state machine asks for besides calls to the platform. */
interface ShardActionHandler {

    /** Sends an order to its server. */
    void sendOrder(Order order);

    /** Tells the other hosts of the failure domain about the stored record. */
    void publishRecord(String shard, long version, ShardRecord record);

    /** Logs a decision or outcome. */
    void logEvent(ShardEvent event);

    /** Logs that a stored record cannot be read. */
    void logUnreadableRecord(String shard, long version);
}
