package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Examples of granting, charging, refunding and expiry, with small amounts for readability. */
class QuotaAccountTest {

    private static final long SECOND = 1_000_000_000L;
    private static final QuotaTimes TIMES = QuotaTimes.DEFAULT;

    private long mIds;

    /** Owns 100 tokens at time 0 and refills 10 per second. */
    private final QuotaAccount mOwner = full();

    /** Owns no share and can only borrow. */
    private final QuotaAccount mBorrower = new QuotaAccount(TIMES, 0, () -> ++mIds);

    @Test
    void startsEmptySoThatARestartYieldsNoTokens() {
        QuotaAccount account = new QuotaAccount(TIMES, 0, () -> ++mIds);
        account.resize(10, 100, 0);
        assertThat(account.available(0)).isZero();
        assertThat(account.available(SECOND)).isEqualTo(10);
    }

    @Test
    void refillStopsWhileLentTokensFillTheCapacity() {
        mOwner.grant(60, 0);
        assertThat(mOwner.available(3 * SECOND)).isEqualTo(40);
    }

    @Test
    void unreportedTokensCountAsSpentAtExpiry() {
        mOwner.grant(60, 0);
        assertThat(mOwner.available(4 * SECOND + SECOND / 20)).isEqualTo(40);
        assertThat(mOwner.available(5 * SECOND + SECOND / 20)).isEqualTo(50);
    }

    @Test
    void grantIsValidFromTheRequestAndExpiryIsCheckedAtUse() {
        mBorrower.accept("owner", mOwner.grant(60, 0), 0, 3 * SECOND);
        assertThat(mBorrower.available(4 * SECOND - 1)).isEqualTo(60);
        assertThat(mBorrower.charge(1, 4 * SECOND)).isEmpty();
    }

    @Test
    void reportIsAppliedOnce() {
        Grant grant = mOwner.grant(60, 0);
        GrantUsage usage = new GrantUsage(grant.id(), 10, 20, 1);
        mOwner.apply(usage, 0);
        mOwner.apply(usage, 0);
        assertThat(mOwner.available(0)).isEqualTo(60);
    }

    @Test
    void lateOlderReportChangesNothing() {
        Grant grant = mOwner.grant(60, 0);
        GrantUsage older = new GrantUsage(grant.id(), 10, 10, 1);
        GrantUsage newer = new GrantUsage(grant.id(), 20, 20, 2);
        List.of(older, newer, older, newer).forEach(usage -> mOwner.apply(usage, 0));
        assertThat(mOwner.available(0)).isEqualTo(60);
    }

    @Test
    void grantLentOnwardNeverOutlivesItsSource() {
        mBorrower.accept("owner", mOwner.grant(60, 0), 0, 0);
        Grant onward = mBorrower.grant(10, 2 * SECOND);
        assertThat(onward.amount()).isEqualTo(10);
        assertThat(QuotaTimes.withDrift(onward.validityNanos())).isLessThanOrEqualTo(2 * SECOND);
    }

    @Test
    void grantThatExpiresFirstIsUsedFirst() {
        mBorrower.accept("late", new Grant(1, 10, 4 * SECOND), SECOND, SECOND);
        mBorrower.accept("early", new Grant(2, 10, 4 * SECOND), 0, SECOND);
        mBorrower.charge(10, SECOND);
        assertThat(mBorrower.granters(SECOND)).containsExactly("early");
    }

    @Test
    void refundIsLostWhenTheBucketWasFullSinceTheCharge() {
        Charge charge = mOwner.charge(20, 0).orElseThrow();
        mOwner.charge(90, 2 * SECOND).orElseThrow();
        assertThat(mOwner.settle(charge, 0, 3 * SECOND)).isZero();
    }

    @Test
    void twoRefundsShareTheHeadroomSinceTheirCharges() {
        Charge first = mOwner.charge(20, 0).orElseThrow();
        Charge second = mOwner.charge(20, 0).orElseThrow();
        mOwner.charge(90, 3 * SECOND).orElseThrow();
        assertThat(mOwner.settle(first, 0, 3 * SECOND)).isEqualTo(10);
        assertThat(mOwner.settle(second, 0, 3 * SECOND)).isZero();
    }

    @Test
    void refundIsFullWhenThereWasHeadroomEverSinceTheCharge() {
        Charge charge = mOwner.charge(20, 0).orElseThrow();
        assertThat(mOwner.settle(charge, 5, SECOND / 2)).isEqualTo(15);
        assertThat(mOwner.available(SECOND / 2)).isEqualTo(100);
    }

    @Test
    void borrowedTokensReportedAsSpentAreNotRefunded() {
        mBorrower.accept("owner", mOwner.grant(60, 0), 0, 0);
        Charge charge = mBorrower.charge(60, 0).orElseThrow();
        mBorrower.reports("owner", 0);
        assertThat(mBorrower.settle(charge, 0, 0)).isZero();
    }

    @Test
    void overrunIsPaidBeforeNewTokensAreUsed() {
        Charge charge = mOwner.charge(100, 0).orElseThrow();
        mOwner.settle(charge, 130, 0);
        assertThat(mOwner.charge(10, 2 * SECOND)).isEmpty();
        assertThat(mOwner.charge(10, 4 * SECOND)).isPresent();
    }

    @Test
    void reserveFollowsRecentUseAndDecaysWhenIdle() {
        for (int i = 0; i < 8; i++) {
            mOwner.charge(10, 0);
        }
        assertThat(mOwner.reserve(0)).isEqualTo(20);
        assertThat(mOwner.reserve(60 * SECOND)).isZero();
    }

    /**
     * Guards against a reserve that is borrowed and returned after each charge without being used.
     */
    @Test
    void reserveThatCouldNotServeTheNextChargeIsNotHeld() {
        mOwner.charge(80, 0);
        assertThat(mOwner.reserve(0)).isZero();
    }

    @Test
    void shrunkShareFitsOnlyWhenLentTokensHaveExpired() {
        mOwner.grant(60, 0);
        mOwner.resize(5, 50, SECOND);
        assertThat(mOwner.fitsCapacity(4 * SECOND)).isFalse();
        assertThat(mOwner.fitsCapacity(5 * SECOND)).isTrue();
    }

    @Test
    void restartedHostConfirmsNoShareWhileGrantsOfItsPredecessorMayBeInUse() {
        QuotaAccount restarted =
                new QuotaAccount(TIMES, TIMES.predecessorGrantLifetimeNanos(), () -> ++mIds);
        assertThat(restarted.fitsCapacity(4 * SECOND)).isFalse();
        assertThat(restarted.fitsCapacity(5 * SECOND)).isTrue();
    }

    @Test
    void unneededTokensAreReturnedToTheOwner() {
        mBorrower.accept("owner", mOwner.grant(60, 0), 0, 0);
        mBorrower.returnUnneeded(0, 0);
        List<GrantUsage> usages = mBorrower.reports("owner", 0);
        usages.forEach(usage -> mOwner.apply(usage, 0));
        assertThat(mOwner.available(0)).isEqualTo(100);
    }

    private QuotaAccount full() {
        QuotaAccount account = new QuotaAccount(TIMES, -10 * SECOND, () -> ++mIds);
        account.resize(10, 100, -10 * SECOND);
        return account;
    }
}
