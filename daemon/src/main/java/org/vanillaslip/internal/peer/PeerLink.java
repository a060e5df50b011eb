package org.vanillaslip.internal.peer;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Optional;

/** A connection to another host. Used on the decision loop, except where stated. */
final class PeerLink {

    private final Channel mChannel;
    private final Optional<InetSocketAddress> mOutboundAddress;
    private Optional<String> mPeer = Optional.empty();

    /** Time at which bytes of a message arrived; a long message takes a while. */
    private volatile long mLastReadNanos;

    PeerLink(Channel channel, Optional<InetSocketAddress> outboundAddress, long nowNanos) {
        mChannel = channel;
        mOutboundAddress = outboundAddress;
        mLastReadNanos = nowNanos;
    }

    Channel channel() {
        return mChannel;
    }

    /** Returns the address that this host connected to, or empty if the peer opened the link. */
    Optional<InetSocketAddress> outboundAddress() {
        return mOutboundAddress;
    }

    /** Returns the name of the peer, or empty before its first message. */
    Optional<String> peer() {
        return mPeer;
    }

    /** Returns the name of the peer, or its address before its first message. */
    String name() {
        return mPeer.orElseGet(() -> String.valueOf(mChannel.remoteAddress()));
    }

    void setPeer(String peer) {
        mPeer = Optional.of(peer);
    }

    /** Records that bytes have arrived; may be called on any thread. */
    void recordRead(long nowNanos) {
        mLastReadNanos = nowNanos;
    }

    long silentNanos(long nowNanos) {
        return nowNanos - mLastReadNanos;
    }
}
