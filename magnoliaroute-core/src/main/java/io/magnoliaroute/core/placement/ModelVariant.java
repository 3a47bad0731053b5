package io.magnoliaroute.core.placement;

import java.util.Comparator;
import java.util.Objects;

/**
 * Model weights that an engine can load.
 *
 * @param model the name of the model
 * @param adapter the name of the adapter applied to the model, or the empty string
 * @param version the version of the weights
 */
public record ModelVariant(String model, String adapter, String version)
    implements Comparable<ModelVariant> {

  private static final Comparator<ModelVariant> ORDER =
      Comparator.comparing(ModelVariant::model)
          .thenComparing(ModelVariant::adapter)
          .thenComparing(ModelVariant::version);

  /** Rejects null components. */
  public ModelVariant {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(version, "version");
  }

  @Override
  public int compareTo(ModelVariant other) {
    return ORDER.compare(this, other);
  }
}
