package org.vanillaslip.internal.fleet;

/** Details of refusals of waiting calls; {@code vanillaslip explain} recognizes them. */
final class RefusalDetail {

    /** All servers that could take the call name limits that its time does not reach. */
    static final String LIMITED = "all servers limit their requests";

    /** No server of the pool takes new calls. */
    static final String LEAVING = "all servers leave";

    /** All servers asked for a pause that ends after the call's time. */
    static final String PAUSING = "all servers asked for a pause";

    private RefusalDetail() {}
}
