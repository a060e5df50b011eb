package org.vanillaslip.internal.platform;

/** Names of the platform's collections. */
public final class PlatformCollections {

    /** Configuration items of all kinds; one object per item. */
    public static final String CONFIGURATION = "configuration";

    /** Hosts that run or are about to stop; written by the platform. */
    public static final String HOSTS = "hosts";

    /** Leases and placement records; one object per control shard. */
    public static final String CONTROL_SHARDS = "controlshards";

    /** Share tables; one object per failure domain. */
    public static final String QUOTA_SHARES = "quotashares";

    /** Attempts of calls that are not repeatable. */
    public static final String ATTEMPTS = "attempts";

    /** Prompt parts under which servers crashed; one object. */
    public static final String PROMPT_QUARANTINES = "promptquarantines";

    /** Usage reports of the last windows; one object. */
    public static final String USAGE_REPORTS = "usagereports";

    /** Ordered numbers of backend servers; one object. */
    public static final String SERVER_COUNTS = "servercounts";

    private PlatformCollections() {}
}
