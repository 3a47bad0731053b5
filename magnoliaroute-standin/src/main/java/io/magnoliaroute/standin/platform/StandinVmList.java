package io.magnoliaroute.standin.platform;

import io.magnoliaroute.standin.StandinServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.util.LinkedHashMap;
import java.util.Map;

/** The platform's list of VMs; changes become visible when a test publishes them. */
public final class StandinVmList {

  private final Map<String, JsonObject> current = new LinkedHashMap<>();
  private JsonArray published = new JsonArray();
  private long version;

  /** Adds or replaces a VM; the list shows it after {@link #publish()}. */
  public synchronized void put(String vm, String host, int port, boolean leaving) {
    current.put(
        vm,
        new JsonObject().put("vm", vm).put("host", host).put("port", port).put("leaving", leaving));
  }

  /** Removes a VM; the list shows it until {@link #publish()}. */
  public synchronized void remove(String vm) {
    current.remove(vm);
  }

  /** Makes the changes visible, so that a test controls the list's lag. */
  public synchronized void publish() {
    JsonArray vms = new JsonArray();
    current.values().forEach(vm -> vms.add(vm.copy()));
    published = vms;
    version++;
  }

  /** Starts the list on a loopback port. */
  public Future<StandinServer> start(Vertx vertx) {
    Router router = Router.router(vertx);
    router
        .get("/vms")
        .handler(
            context ->
                context.json(new JsonObject().put("version", version()).put("vms", visible())));
    return StandinServer.listen(vertx, router);
  }

  private synchronized long version() {
    return version;
  }

  private synchronized JsonArray visible() {
    return published.copy();
  }
}
