package org.vanillaslip.internal.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.platform.StoredObject;

/** The objects of the collection {@code quotashares}, as last read. */
final class ShareTables {

    static final String COLLECTION = "quotashares";

    /** Name of the object with each failure domain's fraction; created once, never changed. */
    static final String DOMAINS = "domains";

    private static final String TABLE_PREFIX = "table.";

    private final Map<String, ShareTable> mTables = new HashMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private Optional<Map<String, Long>> mPartsByDomain = Optional.empty();

    static String objectName(String failureDomain) {
        return TABLE_PREFIX + failureDomain;
    }

    /** Applies an object unless this or a newer version is known; returns whether it applied. */
    boolean apply(StoredObject object) {
        if (object.version() <= version(object.name())) {
            return false;
        }
        mVersions.put(object.name(), object.version());
        if (object.name().equals(DOMAINS)) {
            mPartsByDomain = Optional.of(ShareTableFormat.readDomains(object.spec()));
        } else {
            ShareTable table = ShareTableFormat.read(object.spec());
            mTables.put(table.failureDomain(), table);
        }
        return true;
    }

    /** Returns the version of the object, or 0 when it does not exist. */
    long version(String objectName) {
        return mVersions.getOrDefault(objectName, 0L);
    }

    Optional<ShareTable> table(String failureDomain) {
        return Optional.ofNullable(mTables.get(failureDomain));
    }

    Optional<Map<String, Long>> partsByDomain() {
        return mPartsByDomain;
    }

    Map<String, Long> partsByHost() {
        Map<String, Long> parts = new HashMap<>();
        mTables.values()
                .forEach(
                        table ->
                                table.shares()
                                        .values()
                                        .forEach(share -> parts.put(share.host(), share.parts())));
        return parts;
    }
}
