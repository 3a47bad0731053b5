package io.magnoliaroute.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Decodes requests and rejects those whose body length is ambiguous, because another reader of the
 * same bytes could find a second request inside the body (RFC 9112, sections 6.1 and 6.3).
 *
 * <p>A rejected request is delivered with a failed decoder result, and all further bytes of the
 * connection are discarded.
 */
public final class StrictRequestDecoder extends VertxHttpRequestDecoder {

  /** Sizes with more digits overflow the number in which the super class keeps them. */
  private static final int MAX_CHUNK_SIZE_DIGITS = 7;

  private static final int HEX_RADIX = 16;

  private boolean rejected;
  private boolean awaitsChunk;
  private long chunkBytesLeft;

  private StrictRequestDecoder(HttpServerOptions options) {
    super(options);
  }

  /**
   * Returns options that the decoder supports: HTTP/1 only, since an upgrade to HTTP/2 would
   * replace the decoder.
   */
  public static HttpServerOptions options() {
    return new HttpServerOptions().setHttp2ClearTextEnabled(false);
  }

  /** Makes a connection that a server has just opened reject ambiguous requests. */
  public static void install(HttpConnection connection, HttpServerOptions options) {
    ((HttpServerConnection) connection)
        .channelHandlerContext()
        .pipeline()
        .replace(VertxHttpRequestDecoder.class, "httpDecoder", new StrictRequestDecoder(options));
  }

  /** The cause of a failed decoder result if the length of the body is ambiguous. */
  static final class AmbiguousLengthException extends Exception {

    private static final long serialVersionUID = 1L;

    AmbiguousLengthException(String message) {
      super(message);
    }
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (awaitsChunk && chunkBytesLeft <= 0 && !isNextChunkSizeValid(in)) {
      rejected = true;
      out.add(invalidChunk());
    }
    if (rejected) {
      in.skipBytes(in.readableBytes());
      return;
    }
    int first = out.size();
    super.decode(context, in, out);
    for (Object decoded : out.subList(first, out.size())) {
      if (decoded instanceof HttpRequest request && request.decoderResult().isSuccess()) {
        rejectIfAmbiguous(request);
        awaitsChunk = HttpUtil.isTransferEncodingChunked(request);
        chunkBytesLeft = 0;
      }
      if (decoded instanceof HttpContent content) {
        chunkBytesLeft -= content.content().readableBytes();
      }
    }
  }

  private static HttpContent invalidChunk() {
    HttpContent chunk = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
    chunk.setDecoderResult(
        DecoderResult.failure(new AmbiguousLengthException("malformed size of a chunk")));
    return chunk;
  }

  /** Reads ahead to the size of the next chunk; returns false if it is malformed. */
  private boolean isNextChunkSizeValid(ByteBuf in) {
    int position = in.readerIndex();
    while (position < in.writerIndex() && isLineEnd(in.getByte(position))) {
      position++;
    }
    int start = position;
    while (position < in.writerIndex() && Character.digit(in.getByte(position), HEX_RADIX) >= 0) {
      position++;
    }
    int digits = position - start;
    if (digits > MAX_CHUNK_SIZE_DIGITS) {
      return false;
    }
    if (position == in.writerIndex()) {
      return true;
    }
    if (digits == 0) {
      return false;
    }
    String size = in.toString(start, digits, StandardCharsets.US_ASCII);
    chunkBytesLeft = Long.parseLong(size, HEX_RADIX);
    awaitsChunk = chunkBytesLeft > 0;
    return true;
  }

  private static boolean isLineEnd(byte next) {
    return next == '\r' || next == '\n';
  }

  // The super class removes the length, which would hide the ambiguity.
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}

  private void rejectIfAmbiguous(HttpRequest request) {
    Optional<String> ambiguity = findAmbiguity(request);
    if (ambiguity.isPresent()) {
      rejected = true;
      request.setDecoderResult(
          DecoderResult.failure(new AmbiguousLengthException(ambiguity.get())));
    }
  }

  private static Optional<String> findAmbiguity(HttpRequest request) {
    List<String> lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
    List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (lengths.size() + codings.size() > 1) {
      return Optional.of("several fields define the length of the body");
    }
    if (!lengths.isEmpty() && !lengths.get(0).chars().allMatch(c -> c >= '0' && c <= '9')) {
      return Optional.of("Content-Length is not a number");
    }
    if (codings.isEmpty()) {
      return Optional.empty();
    }
    if (!HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
      return Optional.of("Transfer-Encoding is not 'chunked'");
    }
    return request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0
        ? Optional.of("Transfer-Encoding is not defined before HTTP/1.1")
        : Optional.empty();
  }
}
