package io.magnoliaroute.standin.platform;

import io.magnoliaroute.standin.StandinServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.util.LinkedHashMap;
import java.util.Map;

/** The VM list of the platform. Changes become visible only when they are published. */
public final class StandinVmList {

  private final Map<String, JsonObject> pendingVms = new LinkedHashMap<>();
  private JsonArray publishedVms = new JsonArray();
  private long version;

  /** Adds or replaces a VM; takes effect on the next {@link #publish()}. */
  public synchronized void put(String vm, String host, int port, boolean leaving) {
    pendingVms.put(
        vm,
        new JsonObject().put("vm", vm).put("host", host).put("port", port).put("leaving", leaving));
  }

  /** Removes a VM; takes effect on the next {@link #publish()}. */
  public synchronized void remove(String vm) {
    pendingVms.remove(vm);
  }

  /**
   * Makes all changes visible and increments the version of the list. Tests delay this call to
   * simulate an outdated list.
   */
  public synchronized void publish() {
    JsonArray vms = new JsonArray();
    pendingVms.values().forEach(vm -> vms.add(vm.copy()));
    publishedVms = vms;
    version++;
  }

  /** Starts serving the list on a loopback port. */
  public Future<StandinServer> start(Vertx vertx) {
    Router router = Router.router(vertx);
    router
        .get("/vms")
        .handler(
            context ->
                context.json(
                    new JsonObject().put("version", version()).put("vms", publishedVms())));
    return StandinServer.listen(vertx, router);
  }

  private synchronized long version() {
    return version;
  }

  private synchronized JsonArray publishedVms() {
    return publishedVms.copy();
  }
}
