package io.flamingogap.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.core.importer.Location;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

/**
 * Architecture rules of the module: its code makes decisions only and uses no network,
 * threads or clocks. The rules check for the usual packages and methods; they don't
 * detect {@link Thread}, {@code Instant.now()} or file access.
 */
@AnalyzeClasses(packages = "io.flamingogap.core", importOptions = ArchitectureTests.WithoutTests.class)
class ArchitectureTests {

	@ArchTest
	void classesUseNoNetwork(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.net..", "java.nio.channels..", "com.sun.net..", "org.apache.thrift..")
			.check(classes);
	}

	@ArchTest
	void classesUseNoConcurrencyUtilities(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.util.concurrent..")
			.check(classes);
	}

	@ArchTest
	void classesUseNoSystemTimeOrClock(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.should()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.time.Clock")
			.check(classes);
	}

	/**
	 * Import option that excludes every {@code test-classes} directory.
	 */
	static final class WithoutTests implements ImportOption {

		@Override
		public boolean includes(Location location) {
			return !location.contains("/test-classes/");
		}

	}

}
