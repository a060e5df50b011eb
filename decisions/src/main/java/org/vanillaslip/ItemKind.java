package org.vanillaslip;

/** Kind of a configuration item. The platform stores the item as {@code prefix.name}. */
public enum ItemKind {
    PLAN("plan"),
    WORKSPACE("workspace"),
    ROUTE("route"),
    MODEL("model"),
    BACKEND_SERVER("backendserver"),
    FAILURE_DOMAIN("failuredomain"),
    HOST("host");

    private final String mPrefix;

    ItemKind(String prefix) {
        mPrefix = prefix;
    }

    /** Returns the first part of object names of this kind. */
    public String prefix() {
        return mPrefix;
    }

    /** Returns the kind of the given item. */
    public static ItemKind of(ConfigurationItem item) {
        if (item instanceof Plan) {
            return PLAN;
        } else if (item instanceof WorkspaceEntry) {
            return WORKSPACE;
        } else if (item instanceof Route) {
            return ROUTE;
        } else if (item instanceof Model) {
            return MODEL;
        } else if (item instanceof BackendServer) {
            return BACKEND_SERVER;
        } else if (item instanceof FailureDomainEntry) {
            return FAILURE_DOMAIN;
        }
        return HOST;
    }
}
