package org.vanillaslip.internal.quota;

/** The ledger of one incarnation of a server. */
record ServerLedger(String shard, String incarnation, ConcurrencyLedger ledger) {}
