package org.vanillaslip.internal.standins.engine;

/** A model or adapter in the memory of the stand-in engine. */
final class ResidentModel {

    final String mModel;
    final String mVersion;
    final String mAdapter;
    final long mBytes;
    long mDecision;
    boolean mLoaded;
    boolean mLeaving;
    int mRunning;

    ResidentModel(EngineOrder order, long bytes) {
        mModel = order.model();
        mVersion = order.version();
        mAdapter = order.adapterName();
        mBytes = bytes;
        mDecision = order.decision();
    }

    boolean is(EngineOrder order) {
        return mModel.equals(order.model())
                && mVersion.equals(order.version())
                && mAdapter.equals(order.adapterName());
    }

    boolean serves(String model, String adapter) {
        return mLoaded && !mLeaving && mModel.equals(model) && mAdapter.equals(adapter);
    }
}
