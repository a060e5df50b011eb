package org.vanillaslip.internal.duty;

import java.util.function.BooleanSupplier;

/**
 * Right of a host to make duty calls.
 *
 * @param holder name of the host
 * @param term fencing number of the calls, which no other host uses
 * @param permitted whether the right still holds; asked before the first byte of a call is written
 *     and while the call is unanswered
 */
public record DutyRight(String holder, long term, BooleanSupplier permitted) {}
