package org.vanillaslip.internal.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Lets only final responses with a status from 200 to 599 reach an HTTP client. Interim responses
 * are dropped. Any other status is an {@link InvalidStatusException}, and the connection is closed,
 * because what follows on it cannot be trusted. This includes 101, which no request asks for.
 */
public final class FinalStatusCheck extends ChannelInboundHandlerAdapter {

    private static final String HANDLER_NAME = "final-status-check";
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    private boolean mInterim;
    private boolean mInvalid;
    private boolean mReadNeeded;

    private FinalStatusCheck() {}

    /** Returns a client that checks the responses on all connections that it opens. */
    public static HttpClient addTo(HttpClient client) {
        return client.doOnChannelInit((observer, channel, address) -> add(channel));
    }

    /** Adds the check behind the HTTP codec of a new connection, unless it has one. */
    public static void add(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        if (pipeline.get(HANDLER_NAME) == null) {
            pipeline.addAfter(NettyPipeline.HttpCodec, HANDLER_NAME, new FinalStatusCheck());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response && isDecoded(response)) {
            mInterim = isInterim(response.status());
            if (!mInterim && !mInvalid && !isFinal(response.status().code())) {
                mInvalid = true;
                context.fireExceptionCaught(new InvalidStatusException(response.status().code()));
                context.close();
            }
        }
        if (!mInterim && !mInvalid) {
            context.fireChannelRead(message);
            return;
        }
        if (message instanceof LastHttpContent) {
            mInterim = false;
            mReadNeeded = true;
        }
        ReferenceCountUtil.release(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        context.fireChannelReadComplete();
        if (mReadNeeded) {
            // The client reads on demand and has got nothing that makes it ask again.
            mReadNeeded = false;
            context.read();
        }
    }

    /** The client reports a malformed head itself. */
    private static boolean isDecoded(HttpObject message) {
        return message.decoderResult().isSuccess();
    }

    private static boolean isInterim(HttpResponseStatus status) {
        return status.codeClass() == HttpStatusClass.INFORMATIONAL
                && status.code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    }

    private static boolean isFinal(int status) {
        return status >= MIN_STATUS && status <= MAX_STATUS;
    }
}
