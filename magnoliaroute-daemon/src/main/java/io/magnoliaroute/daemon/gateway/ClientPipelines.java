package io.magnoliaroute.daemon.gateway;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/** Gives access to the Netty pipelines of client connections, which Vert.x does not expose. */
final class ClientPipelines {

  private static final VarHandle INTERNAL_CONNECTION = findInternalConnection();

  private ClientPipelines() {}

  /** Returns the pipeline of a connection that an HTTP client has opened outside of its pool. */
  static ChannelPipeline of(HttpClientConnection connection) {
    HttpClientConnectionInternal internal =
        (HttpClientConnectionInternal) INTERNAL_CONNECTION.get(connection);
    return internal.channelHandlerContext().pipeline();
  }

  /** Closes a connection at once, without writing the bytes that wait to be written. */
  static void close(HttpClientConnection connection) {
    // From the first handler, so that none defers the close until all bytes are written.
    ChannelFuture unused = of(connection).firstContext().close();
  }

  private static VarHandle findInternalConnection() {
    Class<?> type = UnpooledHttpClientConnection.class;
    try {
      return MethodHandles.privateLookupIn(type, MethodHandles.lookup())
          .findVarHandle(type, "actual", HttpClientConnectionInternal.class);
    } catch (ReflectiveOperationException e) {
      throw new ExceptionInInitializerError(e);
    }
  }
}
