package org.vanillaslip.internal.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import reactor.netty.NettyPipeline;

/**
 * HTTP codec that rejects requests with both Content-Length and chunked transfer encoding. Two
 * parsers of such a request can disagree on where the next one starts (request smuggling).
 */
final class StrictRequestCodec
        extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {

    /** Upper limit of the request head; the configuration allows less. */
    static final int MAX_HEAD_BYTES = 64 * 1024;

    private static final int MAX_REQUEST_LINE_BYTES = 16 * 1024;

    private StrictRequestCodec() {
        super(new StrictDecoder(), new HttpResponseEncoder());
    }

    /** Replaces the HTTP codec of a new connection. */
    static void install(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.replace(
                NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new StrictRequestCodec());
    }

    private static final class StrictDecoder extends HttpRequestDecoder {

        StrictDecoder() {
            super(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                            .setMaxHeaderSize(MAX_HEAD_BYTES));
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException(
                    "The request has both Content-Length and chunked transfer encoding.");
        }
    }
}
