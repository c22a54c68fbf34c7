package cacheproxy.state;

/**
 * The ages up to which a stored record may be used. Ages are differences of wall clocks, which may have been set
 * meanwhile: a record with a negative age (from the future) or none (NaN) has no known age, and is used only as far as
 * it could be at any age.
 *
 * @param validForMs up to this age decisions may rest on it, in milliseconds; infinite: at any age
 * @param hintForMs up to this age it is a hint, in milliseconds, at least {@code validForMs}; infinite: at any age
 */
record ValidityPeriod(double validForMs, double hintForMs) {
    /** Of what doesn't age. */
    static final ValidityPeriod UNLIMITED = new ValidityPeriod(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

    /** Whether decisions may rest on the record at any age. */
    boolean unlimited() {
        return validForMs == Double.POSITIVE_INFINITY;
    }

    /** How far a record of this age in milliseconds may be used; negative or NaN for an unknown age. */
    Validity at(double ageMs) {
        if (unlimited()) {
            return Validity.VALID;
        }
        boolean ageKnown = ageMs >= 0;
        if (ageKnown && ageMs <= validForMs) {
            return Validity.VALID;
        }
        if (hintForMs == Double.POSITIVE_INFINITY || (ageKnown && ageMs <= hintForMs)) {
            return Validity.HINT;
        }
        return Validity.UNUSABLE;
    }
}
