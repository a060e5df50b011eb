package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.internal.configuration.Fault;

/** Converts hosts to and from the objects of the platform's host list. */
public final class HostCodec {

    /** Decodes an object of the collection {@code hosts}, or returns all its faults. */
    public Either<List<Fault>, Host> decode(StoredObject object) {
        FieldReader fields = new FieldReader("host '" + object.name() + "'", object.spec());
        Host host =
                new Host(
                        object.name(),
                        new FailureDomain(fields.string("failureDomain")),
                        fields.string("peerAddress"),
                        fields.bool("leaving"),
                        object.spec().path("linkMegabits").asDouble(0));
        // Unknown fields are ignored, because the platform writes this collection and may add some.
        return fields.faults().isEmpty()
                ? Either.right(host)
                : Either.left(List.copyOf(fields.faults()));
    }

    /** Encodes a host as the spec of a stored object. */
    public ObjectNode encode(Host host) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("failureDomain", host.failureDomain().name())
                .put("peerAddress", host.peerAddress())
                .put("leaving", host.leaving())
                .put("linkMegabits", host.linkMegabits());
    }
}
