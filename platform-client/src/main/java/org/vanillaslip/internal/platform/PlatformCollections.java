package org.vanillaslip.internal.platform;

/** Names of the platform's collections. */
public final class PlatformCollections {

    /** Plans, workspaces, routes, models, backend servers and drains; one object per item. */
    public static final String CONFIGURATION = "configuration";

    /** Live and leaving hosts, written by the platform. */
    public static final String HOSTS = "hosts";

    /** Leases and placement records; one object per control shard. */
    public static final String CONTROL_SHARDS = "controlshards";

    /** Share tables; one object per failure domain. */
    public static final String QUOTA_SHARES = "quotashares";

    /** Attempts of non-repeatable calls. */
    public static final String ATTEMPTS = "attempts";

    private PlatformCollections() {}
}
