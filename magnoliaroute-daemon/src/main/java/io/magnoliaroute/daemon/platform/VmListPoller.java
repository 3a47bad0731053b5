package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.membership.PeerAddress;
import io.magnoliaroute.core.membership.PlatformList;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.wire.BodyReader;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Polls the platform's VM list and passes each list to a listener. */
public final class VmListPoller {

  private static final long POLL_INTERVAL_MS = 2_000;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int MAX_LIST_BYTES = 4_194_304;

  private final HttpClient client;
  private final BodyReader bodies = new BodyReader(MAX_LIST_BYTES, MAX_LIST_BYTES);
  private final HostPort address;
  private final Consumer<PlatformList> listener;
  private final DaemonMetrics metrics;

  /** Creates a poller that reads nothing before {@link #start}. */
  public VmListPoller(
      Vertx vertx, HostPort address, Consumer<PlatformList> listener, DaemonMetrics metrics) {
    this.client =
        vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    this.address = address;
    this.listener = listener;
    this.metrics = metrics;
  }

  /** Reads the list immediately and then periodically. */
  public void start(Vertx vertx) {
    read();
    vertx.setPeriodic(POLL_INTERVAL_MS, timer -> read());
  }

  private void read() {
    RequestOptions target =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(address.host())
            .setPort(address.port())
            .setURI("/vms")
            .setTimeout(POLL_INTERVAL_MS)
            .setIdleTimeout(POLL_INTERVAL_MS);
    client
        .request(target)
        .compose(request -> request.send())
        .compose(response -> bodies.read(response, POLL_INTERVAL_MS))
        .map(body -> decodeList(body.toJsonObject()))
        .onSuccess(listener::accept)
        .onFailure(failure -> metrics.increment("vm_list_failures"));
  }

  private static PlatformList decodeList(JsonObject json) {
    List<PlatformList.PlatformVm> vms = new ArrayList<>();
    for (Object each : json.getJsonArray("vms")) {
      JsonObject vm = (JsonObject) each;
      vms.add(
          new PlatformList.PlatformVm(
              new VmId(vm.getString("vm")),
              new PeerAddress(vm.getString("host"), vm.getInteger("port")),
              vm.getBoolean("leaving", false)));
    }
    return new PlatformList(json.getLong("version", 0L), vms);
  }
}
