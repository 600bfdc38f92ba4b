package org.hyssophitch.console;

import java.util.List;

import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.yaml.Fault;

/** The console's pages. Stateless. */
final class Pages {

    private static final String NEW_DOCUMENT =
            """
            services:
              - name: first-service
                servers:
                  - name: first-server
                    address: 127.0.0.1:9000
                    zone: first-zone
            """;

    private Pages() {}

    /** The form of the accepted document. */
    static String form(ConfigurationRecord accepted, String notice) {
        Html html = new Html();
        if (!notice.isEmpty()) {
            html.raw("<p class=\"good\">").text(notice).raw("</p>");
        }
        long version = accepted.configuration().version();
        html.raw("<p>Version ")
                .text(version)
                .raw(" by ")
                .text(accepted.author())
                .raw(". ")
                .raw("<a href=\"/document\">Edit as text</a></p><form method=\"post\" action=\"/form\">");
        versionAndAuthor(html, version, "");
        DocumentForm.show(html, accepted.configuration());
        return html.raw("<button>Check and accept</button></form>").page("hyssophitch: configuration");
    }

    /** The first document, when none was accepted yet. */
    static String firstDocument() {
        return editor(NEW_DOCUMENT, 0, "", List.of(), "No document has been accepted yet.");
    }

    /** A document as text, with the faults that were found in it. */
    static String editor(String document, long version, String author, List<Fault> faults, String notice) {
        Html html = new Html();
        if (!notice.isEmpty()) {
            html.raw("<p class=\"fault\">").text(notice).raw("</p>");
        }
        faults.forEach(f -> html.raw("<p class=\"fault\">").text(f.describe()).raw("</p>"));
        html.raw("<form method=\"post\" action=\"/document\">");
        versionAndAuthor(html, version, author);
        html.raw("<textarea name=\"document\">").text(document).raw("</textarea>");
        return html.raw("<p><button>Check and accept</button> <a href=\"/\">Back to the form</a></p></form>")
                .page("hyssophitch: document");
    }

    /** Both versions after a conflict, with what was typed ready to be sent again on top of the accepted one. */
    static String conflict(String typed, String author, ConfigurationRecord accepted) {
        long version = accepted.configuration().version();
        Html html = new Html();
        html.raw("<p class=\"fault\">Another operator was faster: version ")
                .text(version)
                .raw(" by ")
                .text(accepted.author())
                .raw(" was accepted meanwhile. Nothing of yours was written, and nothing of it is lost: it"
                        + " stands on the left. Bring it together with the accepted document on the right,"
                        + " then send it again.</p>");
        html.raw("<form method=\"post\" action=\"/document\">");
        versionAndAuthor(html, version, author);
        html.raw("<div class=\"pair\"><div><h2>Yours</h2><textarea name=\"document\">")
                .text(typed)
                .raw("</textarea></div><div><h2>Accepted, version ")
                .text(version)
                .raw("</h2><pre>")
                .text(accepted.documentYaml())
                .raw("</pre></div></div>");
        return html.raw("<p><button>Check and accept mine on top of version " + version + "</button></p></form>")
                .page("hyssophitch: conflict");
    }

    /** Tells that the platform gives no answer, with what was typed kept. */
    static String unreachable(String typed, long version, String author, String cause) {
        return editor(
                typed,
                version,
                author,
                List.of(),
                "The platform gives no answer (" + cause
                        + "). Whether your document was accepted is not known;"
                        + " what you typed stands below. Look at the form before you send it again.");
    }

    private static void versionAndAuthor(Html html, long version, String author) {
        html.raw("<input type=\"hidden\" name=\"version\" value=\"" + version + "\">")
                .field("your name", "text", "author", author);
    }
}
