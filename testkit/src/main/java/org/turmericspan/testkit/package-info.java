/** Hand-written fakes and a JUnit extension that the tests of several modules share. */
package org.turmericspan.testkit;
