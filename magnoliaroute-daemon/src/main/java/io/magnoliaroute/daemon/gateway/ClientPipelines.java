package io.magnoliaroute.daemon.gateway;

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
