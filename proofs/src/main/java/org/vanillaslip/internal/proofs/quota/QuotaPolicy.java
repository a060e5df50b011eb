package org.vanillaslip.internal.proofs.quota;

/** Policies that enforce a rate limit across several hosts. */
enum QuotaPolicy {
    OWNED_SHARES("owned shares, expiring grants"),
    EQUAL_SPLIT("equal split, no borrowing"),
    NO_SHARING("no sharing");

    private final String mTitle;

    QuotaPolicy(String title) {
        mTitle = title;
    }

    String title() {
        return mTitle;
    }
}
