package org.vanillaslip.internal.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;

/** Charges of one limit that wait on this host, in order of arrival. */
public final class ChargeQueue<T extends QueueableCharge> {

    /**
     * Bounds memory per workspace. The number of tokens is bounded by how long charges may wait.
     */
    private static final int MAX_WAITING_CHARGES = 256;

    /** Keeps sums with a debt and a reserve from overflowing. */
    private static final long MAX_TOTAL_AMOUNT = Long.MAX_VALUE / 4;

    private final Deque<T> mWaiting = new ArrayDeque<>();
    private long mTotalAmount;

    /** Returns the sum of all waiting amounts. */
    public long totalAmount() {
        return mTotalAmount;
    }

    /** Returns the amount that is served next, or 0 when no charge waits. */
    public long firstAmount() {
        return mWaiting.isEmpty() ? 0 : mWaiting.getFirst().amount();
    }

    /** Returns the number of waiting charges. */
    public int size() {
        return mWaiting.size();
    }

    /** Returns whether no charge waits. */
    public boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    /** Appends a charge; returns false if the queue is full. */
    public boolean add(T charge) {
        if (mWaiting.size() >= MAX_WAITING_CHARGES
                || charge.amount() > MAX_TOTAL_AMOUNT - mTotalAmount) {
            return false;
        }
        mWaiting.addLast(charge);
        mTotalAmount += charge.amount();
        return true;
    }

    /** Removes the charge; returns whether it was still waiting. */
    public boolean remove(T charge) {
        boolean removed = mWaiting.remove(charge);
        mTotalAmount -= removed ? charge.amount() : 0;
        return removed;
    }

    /**
     * Serves charges in order of arrival until one can't be served; a small charge never overtakes
     * a large one.
     *
     * @param tryServe serves a charge and returns true, or returns false if it can't be served yet
     */
    public void serveInOrder(Predicate<T> tryServe) {
        while (!mWaiting.isEmpty() && tryServe.test(mWaiting.getFirst())) {
            mTotalAmount -= mWaiting.removeFirst().amount();
        }
    }

    /**
     * Removes and returns the charges that are not expected to be served before their deadline. A
     * removed charge no longer delays the charges behind it.
     *
     * @param expectedNanos expected time until all charges up to the given sum of amounts are
     *     served
     */
    public List<T> removeExpectedTimeouts(LongUnaryOperator expectedNanos, long nowNanos) {
        List<T> timeouts = new ArrayList<>();
        long amountAhead = 0;
        Iterator<T> charges = mWaiting.iterator();
        while (charges.hasNext()) {
            T charge = charges.next();
            long expected = expectedNanos.applyAsLong(amountAhead + charge.amount());
            if (expected > charge.waitDeadlineNanos() - nowNanos) {
                charges.remove();
                mTotalAmount -= charge.amount();
                timeouts.add(charge);
            } else {
                amountAhead += charge.amount();
            }
        }
        return timeouts;
    }
}
