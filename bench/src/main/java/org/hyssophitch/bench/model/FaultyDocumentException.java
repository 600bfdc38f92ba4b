package org.hyssophitch.bench.model;

import java.util.List;

import org.hyssophitch.standin.Deployment;
import org.hyssophitch.wire.yaml.Fault;

/** The document that the stand-ins write for a deployment has faults, a fault of the stand-ins. Immutable. */
final class FaultyDocumentException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    FaultyDocumentException(Deployment deployment, List<Fault> faults) {
        super("document of " + deployment + ": " + faults);
    }
}
