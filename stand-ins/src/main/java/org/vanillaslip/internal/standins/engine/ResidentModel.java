package org.vanillaslip.internal.standins.engine;

/** A model or adapter in the memory of the stand-in engine. */
final class ResidentModel {

    final String mModel;
    final String mVersion;
    final String mAdapter;
    final long mBytes;
    long mDecision;
    boolean mLoaded;
    boolean mUnloading;
    int mRunningRequests;

    ResidentModel(EngineOrder order, long bytes) {
        mModel = order.model();
        mVersion = order.version();
        mAdapter = order.adapterName();
        mBytes = bytes;
        mDecision = order.decision();
    }

    boolean matches(EngineOrder order) {
        return mModel.equals(order.model())
                && mVersion.equals(order.version())
                && mAdapter.equals(order.adapterName());
    }

    boolean canServe(String model, String adapter) {
        return mLoaded && !mUnloading && mModel.equals(model) && mAdapter.equals(adapter);
    }
}
