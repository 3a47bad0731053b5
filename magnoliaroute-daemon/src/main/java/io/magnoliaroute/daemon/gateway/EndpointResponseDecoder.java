package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptFailure;
import io.magnoliaroute.platform.ResponseHead;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.impl.headers.HeadersAdaptor;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes the responses on a connection to an endpoint and discards surplus ones: complete
 * responses to earlier requests, which an endpoint may repeat where the response to the current
 * request is expected. Confined to the event loop of the connection.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

  /** Limit of surplus responses per request. */
  static final int MAX_SURPLUS_RESPONSES = 8;

  /** Limit of the body bytes of all surplus responses per request. */
  static final long MAX_SURPLUS_BYTES = 1_048_576;

  /**
   * Limit of the bytes before the status line of a response, which the super class skips if they
   * are empty lines.
   */
  private static final int MAX_BYTES_BEFORE_HEAD = 1_024;

  /**
   * Number of body parts after which their mean size is checked. Each part takes time on the event
   * loop, whatever its size.
   */
  private static final int MAX_SMALL_PARTS = 1_024;

  /** Minimum of the mean size of body parts; several times less than the shortest usual event. */
  private static final int MIN_MEAN_PART_BYTES = 8;

  /** Number of earlier requests whose methods are kept, which tell the length of a response. */
  private static final int MAX_EARLIER_REQUESTS = 32;

  private static final String PROTOCOL = "HTTP/1.";

  private final Map<String, Boolean> earlierRequests =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_EARLIER_REQUESTS;
        }
      };
  private final ResponseStart responseStart = new ResponseStart();
  private Runnable onUnexpectedBytes = () -> {};
  private Phase phase = Phase.IDLE;
  private Request request;
  private Listener listener;
  private TokenMatcher ownId;
  private boolean statusLineReceived;
  private int protocolBytes;
  private int bytesBeforeHead;
  private long bodyParts;
  private long bodyBytes;
  private ResponseHead surplusHead;
  private int surplusResponses;
  private long surplusBytes;
  private long skippedBytes;
  private boolean closing;

  /** What the next decoded object is part of. */
  private enum Phase {
    /** No request awaits a response; the endpoint must not send anything. */
    IDLE,
    AWAITING_HEAD,
    INTERIM_RESPONSE,
    /** The response that is passed on, whether it belongs to the request or not. */
    PASSED_RESPONSE,
    SURPLUS_RESPONSE,
    /** All responses are passed on. */
    UNCHECKED,
    /** The connection is about to be closed; further bytes are discarded. */
    FAILED
  }

  /**
   * A request that awaits its response.
   *
   * @param id the request id
   * @param isHead whether its method is HEAD
   * @param discardsSurplus whether responses to other requests may precede its own
   */
  record Request(String id, boolean isHead, boolean discardsSurplus) {}

  /** Receives what is not passed on. */
  interface Listener {

    /** Handles a complete response that does not belong to the request and was discarded. */
    void onSurplusResponse(ResponseHead head, long bodyBytes);

    /** Handles received bytes that end the attempt to run the request. */
    void onFailure(AttemptFailure failure, String cause);
  }

  private EndpointResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /**
   * Makes a connection that has just been opened discard surplus responses, and read on after a
   * failed write: an endpoint may respond and close the connection before it has read the whole
   * request.
   */
  static EndpointResponseDecoder install(HttpClientConnection connection, int maxHeadBytes) {
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeadBytes)
            .setMaxHeaderSize(maxHeadBytes);
    EndpointResponseDecoder decoder = new EndpointResponseDecoder(config);
    ChannelPipeline pipeline = ClientPipelines.of(connection);
    pipeline.channel().config().setAutoClose(false);
    pipeline.addAfter("codec", "requestEncoder", new HttpRequestEncoder());
    pipeline.replace("codec", "responseDecoder", decoder);
    pipeline.addBefore("responseDecoder", "responseStart", decoder.responseStart);
    return decoder;
  }

  /** Sets the handler that runs once when bytes arrive while no request awaits a response. */
  void onUnexpectedBytes(Runnable handler) {
    onUnexpectedBytes = handler;
  }

  /** Returns whether surplus bytes have arrived, of which more may follow. */
  boolean hasDiscardedBytes() {
    return surplusResponses > 0 || phase == Phase.FAILED;
  }

  /** Returns whether one of the latest requests on the connection had this id. */
  boolean hasCarried(String requestId) {
    return earlierRequests.containsKey(requestId);
  }

  /** Begins to await the response to a request that is about to be written. */
  void awaitResponse(Request newRequest, Listener newListener) {
    if (phase == Phase.IDLE) {
      request = newRequest;
      listener = newListener;
      statusLineReceived = false;
      protocolBytes = 0;
      bytesBeforeHead = 0;
      bodyParts = 0;
      bodyBytes = 0;
      phase = Phase.AWAITING_HEAD;
      responseStart.reset();
    }
  }

  /** Begins to pass on all bytes as they are; used for the connection's only request. */
  void awaitAnyResponse() {
    phase = Phase.UNCHECKED;
  }

  /**
   * Returns whether the bytes received since the request began, without surplus responses, are or
   * can become a response with another status than 2xx.
   */
  boolean mayHaveReceivedFailure() {
    return phase != Phase.SURPLUS_RESPONSE && responseStart.mayBeFailure();
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (phase == Phase.IDLE && in.isReadable()) {
      phase = Phase.FAILED;
      onUnexpectedBytes.run();
    }
    if (phase == Phase.FAILED) {
      in.skipBytes(in.readableBytes());
      return;
    }
    int first = out.size();
    int surplusBefore = surplusResponses;
    int start = in.readerIndex();
    super.decode(context, in, out);
    if (phase == Phase.AWAITING_HEAD && !statusLineReceived) {
      findStatusLine(in, start);
      checkBytesBeforeHead(in.readerIndex() - start);
    }
    if (!closing) {
      filter(out, first);
    }
    if (surplusResponses > surplusBefore) {
      responseStart.reset();
      responseStart.read(in);
    }
  }

  private void checkBytesBeforeHead(int bytes) {
    bytesBeforeHead += bytes;
    if (!statusLineReceived && bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
      fail(AttemptFailure.BROKEN, "no status line within " + MAX_BYTES_BEFORE_HEAD + " bytes");
    }
  }

  private void findStatusLine(ByteBuf in, int start) {
    for (int i = start; i < in.readerIndex() && !statusLineReceived; i++) {
      char next = (char) in.getByte(i);
      boolean matches = next == PROTOCOL.charAt(protocolBytes);
      protocolBytes = matches ? protocolBytes + 1 : next == PROTOCOL.charAt(0) ? 1 : 0;
      statusLineReceived = protocolBytes == PROTOCOL.length();
    }
  }

  // The super class calls decode for the remaining bytes.
  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    closing = true;
    int first = out.size();
    super.decodeLast(context, in, out);
    filter(out, first);
  }

  // The length of a response depends on the method of its request.
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message) || respondsToHead(message);
  }

  private boolean respondsToHead(HttpMessage message) {
    if (phase != Phase.AWAITING_HEAD
        || !(request.isHead() || earlierRequests.containsValue(true))) {
      return false;
    }
    String id = decodeHead((HttpResponse) message).requestId().orElse(request.id());
    return id.equals(request.id()) ? request.isHead() : earlierRequests.getOrDefault(id, false);
  }

  private void filter(List<Object> decoded, int first) {
    for (Iterator<Object> each = decoded.listIterator(first); each.hasNext(); ) {
      Object part = each.next();
      boolean passed = part instanceof HttpResponse head ? passesHead(head) : true;
      if (part instanceof HttpContent content) {
        passed &= passesContent(content);
      }
      if (!passed) {
        ReferenceCountUtil.release(part);
        each.remove();
      }
    }
  }

  private boolean passesHead(HttpResponse response) {
    if (phase != Phase.AWAITING_HEAD) {
      return phase != Phase.FAILED;
    }
    if (isPartOfSeveral(response)) {
      fail(AttemptFailure.FAILED_INCOMPLETE, "head is joined from several responses");
      return false;
    }
    if (isInterim(response)) {
      phase = Phase.INTERIM_RESPONSE;
      return true;
    }
    phase = Phase.PASSED_RESPONSE;
    if (response.decoderResult().isFailure() || !request.discardsSurplus()) {
      return true;
    }
    ResponseHead head = decodeHead(response);
    if (!isSurplus(head) || surplusResponses >= MAX_SURPLUS_RESPONSES) {
      return true;
    }
    phase = Phase.SURPLUS_RESPONSE;
    surplusHead = head;
    ownId = new TokenMatcher(request.id());
    skippedBytes = 0;
    return false;
  }

  // If a repeated response is cut off, the next one begins inside it. The result may be malformed,
  // or have the status of the former and the rest of the latter.
  private boolean isPartOfSeveral(HttpResponse response) {
    if (response.decoderResult().isFailure()) {
      return request.discardsSurplus() && statusLineReceived && !closing;
    }
    return ResponseHead.isJoined(
        response.status().reasonPhrase(), new HeadersAdaptor(response.headers()));
  }

  // A protocol switch is final: the bytes after it are no HTTP.
  private static boolean isInterim(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        && response.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
  }

  // Nothing follows a response that ends with its connection. A response without an id may be a
  // repeated refusal.
  private boolean isSurplus(ResponseHead head) {
    boolean isOther = head.requestId().map(id -> !id.equals(request.id())).orElse(head.notRun());
    return isOther && !head.endsWithConnection();
  }

  private boolean passesContent(HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    switch (phase) {
      case INTERIM_RESPONSE -> {
        phase = isLast ? Phase.AWAITING_HEAD : phase;
        return true;
      }
      case PASSED_RESPONSE -> {
        if (isLast) {
          endRequest();
          return true;
        }
        return hasProperSize(content);
      }
      case SURPLUS_RESPONSE -> {
        skip(content, isLast);
        return false;
      }
      default -> {
        return phase != Phase.FAILED;
      }
    }
  }

  private boolean hasProperSize(HttpContent content) {
    bodyParts++;
    bodyBytes += content.content().readableBytes();
    if (bodyParts <= MAX_SMALL_PARTS || bodyBytes >= bodyParts * MIN_MEAN_PART_BYTES) {
      return true;
    }
    fail(
        AttemptFailure.BROKEN,
        "body parts have less than " + MIN_MEAN_PART_BYTES + " bytes on average");
    return false;
  }

  private void endRequest() {
    phase = Phase.IDLE;
    earlierRequests.put(request.id(), request.isHead());
    listener = null;
  }

  private void skip(HttpContent content, boolean isLast) {
    if (closing) {
      return;
    }
    int bytes = content.content().readableBytes();
    skippedBytes += bytes;
    surplusBytes += bytes;
    if (surplusBytes > MAX_SURPLUS_BYTES) {
      fail(
          AttemptFailure.FAILED_INCOMPLETE,
          "surplus responses exceed " + MAX_SURPLUS_BYTES + " bytes");
    } else if (content.decoderResult().isFailure()
        || ownId.find(content.content())
        || (isLast && hasOwnIdInTrailers((LastHttpContent) content))) {
      fail(AttemptFailure.FAILED_INCOMPLETE, "response begins inside a surplus one");
    } else if (isLast) {
      surplusResponses++;
      phase = Phase.AWAITING_HEAD;
      listener.onSurplusResponse(surplusHead, skippedBytes);
    }
  }

  private boolean hasOwnIdInTrailers(LastHttpContent content) {
    return content.trailingHeaders().entries().stream()
        .anyMatch(field -> field.getValue().strip().equals(request.id()));
  }

  private void fail(AttemptFailure failure, String cause) {
    phase = Phase.FAILED;
    listener.onFailure(failure, cause);
  }

  private static ResponseHead decodeHead(HttpResponse response) {
    return ResponseHead.decode(response.status().code(), new HeadersAdaptor(response.headers()));
  }
}
