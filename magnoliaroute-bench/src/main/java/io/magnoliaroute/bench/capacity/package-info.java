/** Cost of control for each VM, and how it grows with the number of VMs. */
package io.magnoliaroute.bench.capacity;
