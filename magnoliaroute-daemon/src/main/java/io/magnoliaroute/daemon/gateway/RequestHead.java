package io.magnoliaroute.daemon.gateway;

import io.vertx.core.http.HttpServerRequest;
import java.util.Map;

/**
 * The head of a request as far as it matters before the request is routed.
 *
 * @param path the path without the query
 * @param bytes the size of the request target and the fields
 * @param announcedBytes the {@code Content-Length}; 0 if there is none
 */
record RequestHead(String path, int bytes, long announcedBytes) {

  private static final int SEPARATOR_BYTES = 4;

  static RequestHead of(HttpServerRequest request) {
    String uri = request.uri();
    int query = uri.indexOf('?');
    int bytes = uri.length();
    for (Map.Entry<String, String> field : request.headers()) {
      bytes += field.getKey().length() + field.getValue().length() + SEPARATOR_BYTES;
    }
    return new RequestHead(
        query < 0 ? uri : uri.substring(0, query),
        bytes,
        announcedBytes(request.headers().get("Content-Length")));
  }

  // A number that overflows exceeds any limit; one that is malformed is rejected by the decoder.
  private static long announcedBytes(String contentLength) {
    try {
      return contentLength == null ? 0 : Long.parseLong(contentLength);
    } catch (NumberFormatException e) {
      return Long.MAX_VALUE;
    }
  }
}
