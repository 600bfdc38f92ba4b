package org.hyssophitch.console;

import java.util.List;

import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.yaml.Fault;

/** Renders the console's pages. Stateless. */
final class Pages {

    private static final String DOCUMENT_TEMPLATE =
            """
            services:
              - name: first-service
                servers:
                  - name: first-server
                    address: 127.0.0.1:9000
                    zone: first-zone
            """;

    private Pages() {}

    /** Renders the form of the accepted document. */
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
        addVersionAndAuthor(html, version, "");
        DocumentForm.render(html, accepted.configuration());
        return html.raw("<button>Check and accept</button></form>").page("hyssophitch: configuration");
    }

    /** Renders the editor with a template, for when no document has been accepted yet. */
    static String firstDocument() {
        return editor(DOCUMENT_TEMPLATE, 0, "", List.of(), "No document has been accepted yet.");
    }

    /** Renders the text editor with a document and its validation errors. */
    static String editor(String document, long version, String author, List<Fault> faults, String notice) {
        Html html = new Html();
        if (!notice.isEmpty()) {
            html.raw("<p class=\"fault\">").text(notice).raw("</p>");
        }
        faults.forEach(f -> html.raw("<p class=\"fault\">").text(f.describe()).raw("</p>"));
        html.raw("<form method=\"post\" action=\"/document\">");
        addVersionAndAuthor(html, version, author);
        html.raw("<textarea name=\"document\">").text(document).raw("</textarea>");
        return html.raw("<p><button>Check and accept</button> <a href=\"/\">Back to the form</a></p></form>")
                .page("hyssophitch: document");
    }

    /**
     * Renders the submitted and the accepted document after a conflict. Submitting the page again replaces the accepted
     * document that it shows.
     */
    static String conflict(String submitted, String author, ConfigurationRecord accepted) {
        long version = accepted.configuration().version();
        Html html = new Html();
        html.raw("<p class=\"fault\">Conflict: version ")
                .text(version)
                .raw(" by ")
                .text(accepted.author())
                .raw(" was accepted in the meantime. Your document was not saved; it is shown on the left."
                        + " Merge it with the accepted document on the right,"
                        + " then submit it again.</p>");
        html.raw("<form method=\"post\" action=\"/document\">");
        addVersionAndAuthor(html, version, author);
        html.raw("<div class=\"pair\"><div><h2>Yours</h2><textarea name=\"document\">")
                .text(submitted)
                .raw("</textarea></div><div><h2>Accepted, version ")
                .text(version)
                .raw("</h2><pre>")
                .text(accepted.documentYaml())
                .raw("</pre></div></div>");
        return html.raw("<p><button>Check and accept mine on top of version " + version + "</button></p></form>")
                .page("hyssophitch: conflict");
    }

    /** Renders the editor with the submitted document after a write with an unknown outcome. */
    static String unknownOutcome(String submitted, long version, String author, String cause) {
        return editor(
                submitted,
                version,
                author,
                List.of(),
                "The platform did not confirm the write (" + cause
                        + "). It is unknown whether your document was accepted;"
                        + " it is kept below. Check the accepted document before you submit it again.");
    }

    private static void addVersionAndAuthor(Html html, long version, String author) {
        html.raw("<input type=\"hidden\" name=\"version\" value=\"" + version + "\">")
                .field("your name", "text", "author", author);
    }
}
