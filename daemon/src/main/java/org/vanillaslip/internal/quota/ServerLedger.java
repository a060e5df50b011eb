package org.vanillaslip.internal.quota;

/** The concurrency ledger of one incarnation of a backend server. */
record ServerLedger(String shard, String incarnation, ConcurrencyLedger ledger) {}
